"""Settings of the daemons, checked in full before anything starts."""
