"""What single mechanisms cost, and how soon they act; the commands beside this package print it."""
