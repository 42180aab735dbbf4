"""What an instance knows of routes, services and registered backend servers."""
