"""One agreed table of keyed entries: change sets, what a watch is owed, sums of what members say. No I/O."""
