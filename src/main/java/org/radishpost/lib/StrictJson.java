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
 * Parses JSON from untrusted sources within limits.
 *
 * <p>Duplicate members, trailing content and documents that exceed the limits are rejected.
 * Thread-safe.
 */
public final class StrictJson {
  private static final int MAX_NUMBER_CHARS = 20;
  private static final Pattern UNRECOGNIZED_TOKEN = Pattern.compile("^Unrecognized token '.*?'");

  private final Bounds bounds;
  private final ObjectMapper mapper;

  /** Creates a parser with the given limits. */
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
   * Parses a document.
   *
   * @throws MalformedJsonException if the bytes are not one JSON value within the limits
   */
  public JsonNode read(byte[] json) throws MalformedJsonException {
    if (json.length > bounds.maxBytes()) {
      throw new MalformedJsonException(
          "The document has %d bytes: keep it within %d bytes."
              .formatted(json.length, bounds.maxBytes()));
    }
    try (JsonParser parser = mapper.createParser(json)) {
      return readSingleValue(parser);
    } catch (IOException e) {
      throw new MalformedJsonException("The document cannot be read: encode it as UTF-8.", e);
    }
  }

  /** Serializes a tree in compact form. */
  public byte[] write(JsonNode tree) {
    try {
      return mapper.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("an in-memory tree could not be serialized", e);
    }
  }

  private JsonNode readSingleValue(JsonParser parser) throws MalformedJsonException {
    try {
      JsonNode tree = mapper.readTree(parser);
      if (tree == null) {
        throw new MalformedJsonException("The document is empty: provide one JSON object.");
      }
      if (parser.nextToken() != null) {
        throw new MalformedJsonException(
            "The document has content after its end%s: remove that content."
                .formatted(describeLocation(parser)));
      }
      return tree;
    } catch (JsonProcessingException e) {
      throw new MalformedJsonException(
          "The document is not valid JSON%s: correct it there. The parser reports: %s."
              .formatted(describeLocation(parser), redactToken(e.getOriginalMessage())),
          e);
    } catch (IOException e) {
      throw new MalformedJsonException(
          "The document is not UTF-8%s: encode it as UTF-8.".formatted(describeLocation(parser)),
          e);
    }
  }

  /** Removes an unrecognized token from a parser message, because it may be a misplaced secret. */
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
   * Limits on a document.
   *
   * @param maxBytes the maximum size of the document
   * @param maxDepth the maximum nesting depth
   * @param maxStringChars the maximum length of a string or member name
   * @param maxTokens the maximum number of tokens: names, values and brackets
   */
  public record Bounds(int maxBytes, int maxDepth, int maxStringChars, int maxTokens) {}
}
