"""What a host holds for its callers, and which connection yields first."""
