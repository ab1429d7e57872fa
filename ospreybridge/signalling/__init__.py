"""Codecs: M3UA, ISUP, SCCP unitdata, Q.850 causes, and the platform's JSON lines and journal frames.

No I/O and no call state.
"""
