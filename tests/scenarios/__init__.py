"""Stories across slices: what is told of the whole service, against stand-ins on a virtual clock."""
