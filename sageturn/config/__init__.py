"""The configuration: the platform's file, the operator's file, and how their objects are decoded."""
