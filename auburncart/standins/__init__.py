"""Small stand-ins for the platform and for upstreams; the daemon never imports them."""
