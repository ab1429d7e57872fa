"""Stand-ins: simulated offices, callers, list service and traffic centre around a call server.

They speak M3UA and ISUP as any peer would (those of the platform: JSON lines and journal frames) and share no
state with a call server. They share this code with it: the event loop and its streams (`net`), the codecs
(`signalling`) and the settings class `Peer`; from `core`, the state machine of the association, the handshake
scheduler, the trunk group (used by the callers) and the format of the exchange list's info string. None of
them uses the controller.
"""
