"""HTTP/1.1 by h11 on curio sockets."""
