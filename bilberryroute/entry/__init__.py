"""Role on the entry hosts: callers' and operators' HTTP."""
