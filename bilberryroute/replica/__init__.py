"""Role on the hosts with disks: log, state and leader's controllers."""
