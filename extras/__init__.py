"""Demo, fakes and sample settings; no part of the product."""
