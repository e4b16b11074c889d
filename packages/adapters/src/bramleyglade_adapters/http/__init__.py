"""HTTP/1.1 connections, built on h11 and curio sockets."""
