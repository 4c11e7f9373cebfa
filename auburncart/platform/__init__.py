"""Translation between the users' platform and the product: names, forms and units, nothing else.

No decision, retry, clock or state stands here. The names of the platform's wire stand nowhere else.
"""
