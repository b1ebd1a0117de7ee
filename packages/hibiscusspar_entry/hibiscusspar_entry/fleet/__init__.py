"""The entry process where targets describe themselves and one VM orders loads."""
