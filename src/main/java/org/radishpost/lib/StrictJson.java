package org.radishpost.lib;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.regex.Pattern;
import org.radishpost.errors.MalformedJsonException;

/**
 * Reads JSON from writers that are not trusted, within bounds.
 *
 * <p>Repeated members, text after the end and documents over the bounds are refused. Thread-safe.
 */
public final class StrictJson {
  private static final int MAX_NUMBER_CHARS = 20;
  private static final Pattern UNRECOGNIZED_TOKEN = Pattern.compile("^Unrecognized token '.*?'");

  private final Bounds bounds;
  private final ObjectMapper mapper;

  /** Creates a reader with the given bounds. */
  public StrictJson(Bounds bounds) {
    this.bounds = bounds;
    StreamReadConstraints constraints =
        StreamReadConstraints.builder()
            .maxNestingDepth(bounds.maxDepth())
            .maxStringLength(bounds.maxStringChars())
            .maxNameLength(bounds.maxStringChars())
            .maxNumberLength(MAX_NUMBER_CHARS)
            .maxTokenCount(bounds.maxTokens())
            .build();
    mapper =
        new ObjectMapper(
            JsonFactory.builder()
                .streamReadConstraints(constraints)
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .build());
  }

  /**
   * Reads a tree.
   *
   * @throws MalformedJsonException if the bytes are not one JSON value within the bounds
   */
  public JsonNode read(byte[] json) throws MalformedJsonException {
    if (json.length > bounds.maxBytes()) {
      throw new MalformedJsonException(
          "The document has %d bytes: keep it within %d."
              .formatted(json.length, bounds.maxBytes()));
    }
    try (JsonParser parser = mapper.createParser(json)) {
      return readSingleValue(parser);
    } catch (IOException e) {
      throw new MalformedJsonException("The document is not readable: write it as UTF-8.", e);
    }
  }

  /** Writes a tree in its compact form. */
  public byte[] write(JsonNode tree) {
    try {
      return mapper.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("a tree in memory can always be written", e);
    }
  }

  private JsonNode readSingleValue(JsonParser parser) throws MalformedJsonException {
    try {
      JsonNode tree = mapper.readTree(parser);
      if (tree == null) {
        throw new MalformedJsonException("The document is empty: give one JSON object.");
      }
      if (parser.nextToken() != null) {
        throw new MalformedJsonException(
            "The document goes on after its end%s: remove the rest."
                .formatted(describeLocation(parser)));
      }
      return tree;
    } catch (JsonProcessingException e) {
      throw new MalformedJsonException(
          "The document is not acceptable JSON%s: mend it there. The reader says: %s."
              .formatted(describeLocation(parser), redactToken(e.getOriginalMessage())),
          e);
    } catch (IOException e) {
      throw new MalformedJsonException(
          "The document is not UTF-8%s: write it as UTF-8.".formatted(describeLocation(parser)), e);
    }
  }

  /** Leaves out a token that is not JSON, as it may be a secret that was put there by mistake. */
  private static String redactToken(String message) {
    return UNRECOGNIZED_TOKEN.matcher(message).replaceFirst("Unrecognized token");
  }

  private static String describeLocation(JsonParser parser) {
    JsonLocation location = parser.currentLocation();
    return " at line %d, column %d (%s)"
        .formatted(
            location.getLineNr(),
            location.getColumnNr(),
            parser.getParsingContext().pathAsPointer());
  }

  /**
   * Bounds on a document.
   *
   * @param maxBytes the largest size
   * @param maxDepth the deepest nesting
   * @param maxStringChars the longest text or member name
   * @param maxTokens the most names, values and brackets
   */
  public record Bounds(int maxBytes, int maxDepth, int maxStringChars, int maxTokens) {}
}
