"""walnutpost: a router for functions that are loaded on demand."""
