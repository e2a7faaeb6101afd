package org.radishpost.placement;

import java.util.Objects;

/**
 * The id of a target. A target usually gets a new id when it restarts.
 *
 * @param value the id as text, not blank
 */
public record TargetId(String value) implements Comparable<TargetId> {
  /** Rejects a missing or blank id. */
  public TargetId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("target id must not be blank");
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
