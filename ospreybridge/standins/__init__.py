"""Stand-ins: simulated offices, callers, list service and traffic centre around a call server.

They speak M3UA and ISUP as any peer would and share no state with a call server. They use the same codecs and
the same association state machine, and no other code of the call server.
"""
