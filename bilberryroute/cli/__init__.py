"""Commands: arguments in, printed results out."""
