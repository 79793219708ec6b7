"""State that lasts: kept in the platform's table service, never in daemons."""
