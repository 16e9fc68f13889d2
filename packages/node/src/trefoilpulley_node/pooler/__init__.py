"""Role that holds the connections of members and schedules their slots."""
