package org.radishpost.settings;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.SplittableRandom;
import org.radishpost.errors.SettingsException;
import org.radishpost.lib.JsonDocument;
import org.testng.annotations.Test;

/** Spoiled settings are refused with the place of the fault; -Dseeds=N runs more. */
public class SettingsFuzzTest {
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int DOCUMENTS_PER_SEED = 25;
  private static final JsonDocument VALID =
      JsonDocument.beside(SettingsFuzzTest.class, "valid.json");
  private final SettingsCodec codec = new SettingsCodec();

  @Test
  public void refusalNamesThePlace() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      for (int i = 0; i < DOCUMENTS_PER_SEED; i++) {
        assertRefusedAtPlace(VALID.withUnknownMember(random), seed);
        assertRefusedAtPlace(VALID.withObjectInsteadOfValue(random), seed);
      }
    }
  }

  @Test
  public void oddSettingsAreRefusedOrWhole() {
    int refused = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      for (int i = 0; i < DOCUMENTS_PER_SEED; i++) {
        refused += isRefused(VALID.withOddPlace(random), seed) ? 1 : 0;
        refused += isRefused(VALID.withOddBytes(random), seed) ? 1 : 0;
      }
    }
    assertTrue(refused > SEEDS * DOCUMENTS_PER_SEED, "only " + refused + " refused");
  }

  private void assertRefusedAtPlace(JsonDocument.Spoiled spoiled, int seed) {
    SettingsException e =
        expectThrows(SettingsException.class, () -> codec.decode(spoiled.bytes()));
    assertTrue(
        e.faults().stream().anyMatch(fault -> fault.path().equals(spoiled.path())),
        "seed " + seed + ", " + spoiled.path() + ": " + e.getMessage());
  }

  private boolean isRefused(byte[] json, int seed) {
    try {
      codec.decode(json);
      return false;
    } catch (SettingsException e) {
      assertTrue(e.getMessage().length() > 20, "seed " + seed + ": " + e.getMessage());
      return true;
    }
  }
}
