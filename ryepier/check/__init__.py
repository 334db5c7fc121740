"""An exhaustive check, at small sizes, of how requests and attempts live: the real decision module and the real host,
against every environment that a few choices make.
"""
