"""`python -m ospreybridge`: the command line."""

from ospreybridge.cli.main import main

if __name__ == "__main__":
    main()
