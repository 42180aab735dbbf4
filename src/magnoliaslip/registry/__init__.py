"""Routes, services and registered backend servers, as read from the store."""
