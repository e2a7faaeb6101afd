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

/** The compressed JSON form of {@link ConfigState}, with every original version; thread-safe. */
public final class SnapshotCodec {
  /** The largest snapshot before compression, in bytes. */
  public static final int MAX_BYTES = 32 * 1024 * 1024;

  private static final int FORM = 1;

  private final ManifestCodec manifests;
  private final ObjectMapper mapper = JsonMapper.builder().build();

  /**
   * Creates a codec.
   *
   * @param manifests the form of the manifests within
   */
  public SnapshotCodec(ManifestCodec manifests) {
    this.manifests = manifests;
  }

  /** Returns the form of a state. */
  public byte[] encode(ConfigState state) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
      compressed.write(mapper.writeValueAsBytes(json(state)));
    } catch (IOException e) {
      throw new IllegalStateException("every state has a JSON text", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads a state.
   *
   * @throws ManifestException if the bytes have another form
   */
  public ConfigState decode(byte[] snapshot) throws ManifestException {
    try (GZIPInputStream expanded = new GZIPInputStream(new ByteArrayInputStream(snapshot))) {
      byte[] json = expanded.readNBytes(MAX_BYTES + 1);
      if (json.length > MAX_BYTES) {
        throw new ManifestException("the snapshot has more than " + MAX_BYTES + " bytes");
      }
      return state(mapper.readValue(json, Json.class));
    } catch (IOException | IllegalArgumentException | NullPointerException e) {
      throw new ManifestException("the snapshot of the configuration is malformed", e);
    }
  }

  private Json json(ConfigState state) throws IOException {
    List<JsonItem> items = new ArrayList<>();
    for (VersionedManifest item : new TreeMap<>(state.manifests()).values()) {
      JsonNode manifest = mapper.readTree(manifests.encode(item.manifest()));
      items.add(new JsonItem(item.version(), manifest));
    }
    List<JsonScope> scopes = new ArrayList<>();
    state
        .scopes()
        .forEach(
            (scope, at) ->
                scopes.add(new JsonScope(scope.kind(), scope.name(), at.out(), at.version())));
    List<OperationOutcome> operations = List.copyOf(state.operations().values());
    return new Json(FORM, state.version(), state.timeMillis(), items, scopes, operations);
  }

  private ConfigState state(Json json) throws ManifestException, IOException {
    if (json.form() != FORM) {
      throw new ManifestException("form: this version reads snapshots of form " + FORM + " only");
    }
    Map<GatewayName, VersionedManifest> items = new HashMap<>();
    for (JsonItem item : json.manifests()) {
      Manifest manifest = manifests.decode(bytes(item.manifest()));
      items.put(manifest.gateway(), new VersionedManifest(item.version(), manifest));
    }
    Map<Scope, ScopeState> scopes = new HashMap<>();
    for (JsonScope at : json.scopes()) {
      scopes.put(new Scope(at.kind(), at.name()), new ScopeState(at.out(), at.version()));
    }
    Map<String, OperationOutcome> operations = new LinkedHashMap<>();
    json.operations().forEach(outcome -> operations.put(outcome.operationId(), outcome));
    return new ConfigState(json.version(), json.timeMillis(), items, scopes, operations);
  }

  private byte[] bytes(JsonNode node) throws IOException {
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
