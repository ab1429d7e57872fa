"""Socket handling of the call servers: turns received octets into events; decides nothing about calls."""
