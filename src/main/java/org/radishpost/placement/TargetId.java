package org.radishpost.placement;

import java.util.Objects;

/**
 * The ID of a target. A target usually gets a new ID when it restarts.
 *
 * @param value the ID as text, not blank
 */
public record TargetId(String value) implements Comparable<TargetId> {
  /** Rejects a missing or blank ID. */
  public TargetId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("target ID must not be blank");
    }
  }

  @Override
  public int compareTo(TargetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
