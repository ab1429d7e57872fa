"""TLS credentials: loading and checking them, validating a peer's certificate, warning before expiry."""
