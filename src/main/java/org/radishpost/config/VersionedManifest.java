package org.radishpost.config;

import org.radishpost.manifest.Manifest;

/**
 * An accepted manifest.
 *
 * @param version the version at which the manifest was accepted
 * @param manifest the manifest
 */
public record VersionedManifest(long version, Manifest manifest) {}
