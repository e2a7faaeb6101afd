package org.radishpost;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.radishpost.errors.ManifestException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.JsonDocument;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestFault;
import org.radishpost.manifest.ManifestTest;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.settings.SettingsCodec;
import org.radishpost.settings.SettingsCodecTest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that invalid settings and manifests are rejected with the path of the fault; {@code
 * -Dseeds=N} sets the number of random seeds.
 */
public class DocumentFuzzTest {
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int DOCUMENTS_PER_SEED = 25;

  /** A valid document and the function that reads it. */
  @DataProvider
  public Object[][] documents() {
    SettingsCodec settings = new SettingsCodec();
    return new Object[][] {
      {JsonDocument.load(SettingsCodecTest.class, "valid.json"), (Reader) settings::decode},
      {
        JsonDocument.load(ManifestTest.class, "valid.json"), (Reader) DocumentFuzzTest::readManifest
      },
    };
  }

  @Test(dataProvider = "documents")
  public void errorNamesPathOfFault(JsonDocument valid, Reader reader) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      for (int i = 0; i < DOCUMENTS_PER_SEED; i++) {
        assertRejectedAtPath(valid.withUnknownMember(random), reader, seed);
        assertRejectedAtPath(valid.withObjectInsteadOfValue(random), reader, seed);
      }
    }
  }

  @Test(dataProvider = "documents")
  public void mutatedDocumentIsRejectedOrRoundTrips(JsonDocument valid, Reader reader) {
    int rejected = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      for (int i = 0; i < DOCUMENTS_PER_SEED; i++) {
        rejected += isRejected(valid.withRandomMutation(random), reader, seed) ? 1 : 0;
        rejected += isRejected(valid.withRandomBytes(random), reader, seed) ? 1 : 0;
      }
    }
    assertTrue(rejected > SEEDS * DOCUMENTS_PER_SEED, "only " + rejected + " rejected");
  }

  private static void assertRejectedAtPath(
      JsonDocument.InvalidDocument invalid, Reader reader, int seed) {
    RadishpostException e =
        expectThrows(RadishpostException.class, () -> reader.read(invalid.bytes()));
    String message = "; " + e.getMessage();
    assertTrue(message.contains("; " + invalid.path() + ": "), "seed " + seed + message);
  }

  private static boolean isRejected(byte[] json, Reader reader, int seed) {
    try {
      reader.read(json);
      return false;
    } catch (RadishpostException e) {
      assertTrue(e.getMessage().length() > 20, "seed " + seed + ": " + e.getMessage());
      return true;
    }
  }

  /**
   * Parses and validates a manifest. A manifest that can be parsed must round-trip through JSON.
   */
  private static void readManifest(byte[] json) throws ManifestException {
    ManifestCodec codec = new ManifestCodec();
    Manifest manifest = codec.decode(json);
    assertEquals(codec.decode(codec.encode(manifest)), manifest);
    List<ManifestFault> faults = new ManifestValidator().faults(manifest);
    if (!faults.isEmpty()) {
      throw new ManifestException(faults.toString());
    }
  }

  /** Reads a document or rejects it with an exception. */
  private interface Reader {
    void read(byte[] json) throws RadishpostException;
  }
}
