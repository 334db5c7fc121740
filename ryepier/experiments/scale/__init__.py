"""What a process costs as the fleet grows: measurements, hollow processes, the capacity page, planted mistakes."""
