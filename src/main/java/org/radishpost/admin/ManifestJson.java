package org.radishpost.admin;

import java.nio.charset.StandardCharsets;
import org.radishpost.config.VersionedManifest;
import org.radishpost.manifest.ManifestCodec;

/** Writes a manifest and its version as JSON. */
final class ManifestJson {
  private ManifestJson() {}

  static byte[] of(VersionedManifest versionedManifest, ManifestCodec codec) {
    String manifestJson =
        new String(codec.encode(versionedManifest.manifest()), StandardCharsets.UTF_8);
    String document =
        "{\"version\":" + versionedManifest.version() + ",\"manifest\":" + manifestJson + "}";
    return document.getBytes(StandardCharsets.UTF_8);
  }
}
