"""Long-held watches of the agreed table over HTTP: the serving side and the following side."""
