"""Sub-commands of the `ospreybridge` command; only they print to the terminal."""
