"""Small stand-ins for the platform's side of the interfaces."""
