"""Settings files read into checked objects; an error states file, place, key and what was expected."""
