package org.radishpost.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Collectors;
import org.radishpost.errors.MalformedJsonException;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.StrictJson;

/**
 * Parses and serializes the JSON form of manifests.
 *
 * <p>Parsing rejects unknown and duplicate members, wrong types and units, and documents that
 * exceed the limits of {@link ManifestBounds}. {@link ManifestValidator} checks the values of the
 * members. Equal manifests have equal JSON forms. Thread-safe.
 */
public final class ManifestCodec {
  private final StrictJson json;

  /** Creates a codec with the limits of {@link ManifestBounds}. */
  public ManifestCodec() {
    json = new StrictJson(ManifestBounds.DOCUMENT);
  }

  /**
   * Parses a manifest.
   *
   * @throws ManifestException if the bytes are not the JSON form of a manifest; the message lists
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

  /** Serializes a manifest as compact JSON. */
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
