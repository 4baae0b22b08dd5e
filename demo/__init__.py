"""Demo: both example sites under load, with one daemon killed in each."""
