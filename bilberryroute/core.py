"""The program: arguments and an environment in, an exit status out."""
