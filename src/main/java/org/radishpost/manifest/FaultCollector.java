package org.radishpost.manifest;

import java.util.ArrayList;
import java.util.List;

/** Gathers the faults of one manifest, up to a bound. */
final class FaultCollector {
  static final int MAX_FAULTS = 100;

  private final List<ManifestFault> faults = new ArrayList<>();

  void add(String path, String remedy) {
    if (faults.size() < MAX_FAULTS) {
      faults.add(new ManifestFault(path, remedy));
    }
  }

  void addIf(boolean wrong, String path, String remedy) {
    if (wrong) {
      add(path, remedy);
    }
  }

  void addOutside(String path, long value, ManifestBounds.Range range) {
    if (!range.holds(value)) {
      add(path, "is " + value + ": give " + range);
    }
  }

  boolean full() {
    return faults.size() == MAX_FAULTS;
  }

  List<ManifestFault> faults() {
    return List.copyOf(faults);
  }
}
