package org.radishpost.manifest;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults of a manifest up to a limit. */
final class FaultCollector {
  static final int MAX_FAULTS = 100;

  private final List<ManifestFault> faults = new ArrayList<>();

  void add(String path, String message) {
    if (faults.size() < MAX_FAULTS) {
      faults.add(new ManifestFault(path, message));
    }
  }

  void addIf(boolean condition, String path, String message) {
    if (condition) {
      add(path, message);
    }
  }

  void addIfOutOfRange(String path, long value, ManifestBounds.Range range) {
    if (!range.contains(value)) {
      add(path, "is " + value + ": specify " + range);
    }
  }

  boolean isFull() {
    return faults.size() == MAX_FAULTS;
  }

  List<ManifestFault> faults() {
    return List.copyOf(faults);
  }
}
