"""The request filters, one a module, in the order in which they run."""
