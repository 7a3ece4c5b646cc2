"""Messages and records as builds write them: samples, and the files that landed builds wrote.

``python features/formats/write.py SOURCE`` prints the samples of the build whose ``src`` that is.
"""
