package org.radishpost.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Collectors;
import org.radishpost.errors.MalformedJsonException;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.StrictJson;

/**
 * Reads and writes the JSON form of manifests.
 *
 * <p>Reading refuses unknown and repeated members, wrong types and units, and documents over the
 * bounds of {@link ManifestBounds}; {@link ManifestValidator} then judges what the members say.
 * Equal manifests have equal JSON forms. Thread-safe.
 */
public final class ManifestCodec {
  private final StrictJson json;

  /** Creates one. */
  public ManifestCodec() {
    json = new StrictJson(ManifestBounds.DOCUMENT);
  }

  /**
   * Reads a manifest.
   *
   * @throws ManifestException if the bytes are not the JSON form of a manifest; the message names
   *     each fault with its path and remedy
   */
  public Manifest decode(byte[] bytes) throws ManifestException {
    FaultCollector faults = new FaultCollector();
    Manifest manifest = ManifestReader.read(parse(bytes), faults);
    if (!faults.faults().isEmpty()) {
      throw new ManifestException(
          faults.faults().stream().map(ManifestFault::toString).collect(Collectors.joining("; ")));
    }
    return manifest;
  }

  /** Writes a manifest in its compact form. */
  public byte[] encode(Manifest manifest) {
    return json.write(ManifestWriter.write(manifest));
  }

  private JsonNode parse(byte[] bytes) throws ManifestException {
    try {
      return json.read(bytes);
    } catch (MalformedJsonException e) {
      throw new ManifestException(e.getMessage(), e);
    }
  }
}
