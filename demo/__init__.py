"""Both example sites served by separate processes, with a daemon killed."""
