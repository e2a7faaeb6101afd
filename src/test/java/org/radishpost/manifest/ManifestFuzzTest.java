package org.radishpost.manifest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.JsonDocument;
import org.testng.annotations.Test;

/** Spoiled manifests are refused with the place of the fault; -Dseeds=N runs more. */
public class ManifestFuzzTest {
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int DOCUMENTS_PER_SEED = 50;
  private static final JsonDocument VALID =
      JsonDocument.beside(ManifestFuzzTest.class, "valid.json");
  private final ManifestCodec codec = new ManifestCodec();
  private final ManifestValidator validator = new ManifestValidator();

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
  public void oddManifestIsRefusedOrWhole() {
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
    ManifestException e =
        expectThrows(ManifestException.class, () -> codec.decode(spoiled.bytes()));
    assertTrue(
        e.getMessage().startsWith(spoiled.path() + ": "),
        "seed " + seed + ", " + spoiled.path() + ": " + e.getMessage());
  }

  private boolean isRefused(byte[] json, int seed) {
    Manifest manifest;
    try {
      manifest = codec.decode(json);
    } catch (ManifestException e) {
      assertTrue(e.getMessage().length() > 20, "seed " + seed + ": " + e.getMessage());
      return true;
    }
    List<ManifestFault> faults = validator.faults(manifest);
    assertEquals(validator.faults(manifest), faults, "seed " + seed);
    assertEquals(encodedAndDecoded(manifest), manifest, "seed " + seed);
    return !faults.isEmpty();
  }

  private Manifest encodedAndDecoded(Manifest manifest) {
    try {
      return codec.decode(codec.encode(manifest));
    } catch (ManifestException e) {
      throw new AssertionError(e);
    }
  }
}
