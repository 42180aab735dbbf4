"""What instances that steer by server tags tell each other: load, evidence, news.

Everything is best effort. An instance that hears nobody goes on with what it knows.
"""
