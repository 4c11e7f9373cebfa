"""Settings of the daemons, fully validated before anything starts."""
