"""The processes of call servers: start, reload, drain and shutdown."""
