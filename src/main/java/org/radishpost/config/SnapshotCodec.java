package org.radishpost.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.GatewayName;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;

/**
 * Encodes and decodes {@link ConfigState} as compressed JSON, including all original versions;
 * thread-safe.
 */
public final class SnapshotCodec {
  /** The maximum size of a snapshot before compression. */
  public static final int MAX_UNCOMPRESSED_BYTES = 32 * 1024 * 1024;

  private static final int FORMAT_VERSION = 1;

  private final ManifestCodec manifestCodec;
  private final ObjectMapper mapper = JsonMapper.builder().build();

  /**
   * Creates a codec.
   *
   * @param manifestCodec the codec of the manifests in the snapshots
   */
  public SnapshotCodec(ManifestCodec manifestCodec) {
    this.manifestCodec = manifestCodec;
  }

  /** Encodes a state. */
  public byte[] encode(ConfigState state) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
      compressed.write(mapper.writeValueAsBytes(toJson(state)));
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the configuration state", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a state.
   *
   * @throws ManifestException if the snapshot is malformed, too large or of another format version
   */
  public ConfigState decode(byte[] snapshot) throws ManifestException {
    try (GZIPInputStream expanded = new GZIPInputStream(new ByteArrayInputStream(snapshot))) {
      byte[] json = expanded.readNBytes(MAX_UNCOMPRESSED_BYTES + 1);
      if (json.length > MAX_UNCOMPRESSED_BYTES) {
        throw new ManifestException(
            "the snapshot has more than " + MAX_UNCOMPRESSED_BYTES + " bytes");
      }
      return fromJson(mapper.readValue(json, Json.class));
    } catch (IOException | IllegalArgumentException | NullPointerException e) {
      throw new ManifestException("the configuration snapshot is malformed", e);
    }
  }

  private Json toJson(ConfigState state) throws IOException {
    List<JsonItem> manifests = new ArrayList<>();
    for (VersionedManifest item : new TreeMap<>(state.manifests()).values()) {
      JsonNode manifest = mapper.readTree(manifestCodec.encode(item.manifest()));
      manifests.add(new JsonItem(item.version(), manifest));
    }
    List<JsonScope> scopes = new ArrayList<>();
    state
        .scopes()
        .forEach(
            (scope, scopeState) ->
                scopes.add(
                    new JsonScope(
                        scope.kind(),
                        scope.name(),
                        scopeState.outOfService(),
                        scopeState.version())));
    List<OperationOutcome> operations = List.copyOf(state.operations().values());
    return new Json(
        FORMAT_VERSION, state.version(), state.timeMillis(), manifests, scopes, operations);
  }

  private ConfigState fromJson(Json json) throws ManifestException, IOException {
    if (json.form() != FORMAT_VERSION) {
      throw new ManifestException(
          "form: only snapshots of form " + FORMAT_VERSION + " are supported");
    }
    Map<GatewayName, VersionedManifest> manifests = new HashMap<>();
    for (JsonItem item : json.manifests()) {
      Manifest manifest = manifestCodec.decode(toBytes(item.manifest()));
      manifests.put(manifest.gateway(), new VersionedManifest(item.version(), manifest));
    }
    Map<Scope, ScopeState> scopes = new HashMap<>();
    for (JsonScope scope : json.scopes()) {
      scopes.put(
          new Scope(scope.kind(), scope.name()), new ScopeState(scope.out(), scope.version()));
    }
    Map<String, OperationOutcome> operations = new LinkedHashMap<>();
    json.operations().forEach(outcome -> operations.put(outcome.operationId(), outcome));
    return new ConfigState(json.version(), json.timeMillis(), manifests, scopes, operations);
  }

  private byte[] toBytes(JsonNode node) throws IOException {
    return mapper.writeValueAsBytes(node);
  }

  private record Json(
      int form,
      long version,
      long timeMillis,
      List<JsonItem> manifests,
      List<JsonScope> scopes,
      List<OperationOutcome> operations) {}

  private record JsonItem(long version, JsonNode manifest) {}

  private record JsonScope(Scope.Kind kind, String name, boolean out, long version) {}
}
