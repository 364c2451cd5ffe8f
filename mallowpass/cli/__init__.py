"""The command line; each module holds the commands of one matter."""
