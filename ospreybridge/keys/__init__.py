"""Certificates, keys and trust: what is read, how a peer's certificate is judged, when to warn and renew."""
