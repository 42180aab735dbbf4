"""UDP sockets, and the path of packets to the router of an instance with tunnels.

Instances with server tags use only `udp_socket` and `udp_reader`.
"""
