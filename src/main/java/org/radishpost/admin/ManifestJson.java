package org.radishpost.admin;

import java.nio.charset.StandardCharsets;
import org.radishpost.config.VersionedManifest;
import org.radishpost.manifest.ManifestCodec;

/** Writes a manifest with its version as JSON. */
final class ManifestJson {
  private ManifestJson() {}

  static byte[] of(VersionedManifest found, ManifestCodec codec) {
    String manifest = new String(codec.encode(found.manifest()), StandardCharsets.UTF_8);
    String whole = "{\"version\":" + found.version() + ",\"manifest\":" + manifest + "}";
    return whole.getBytes(StandardCharsets.UTF_8);
  }
}
