#include <map>
#include <string>

#include "options.pb.h"
#include "schema_names.h"
#include "schema_writers.h"

namespace lacewingbridge::schema {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;
using google::protobuf::io::Printer;

namespace {

constexpr char kSettingStruct[] =
    "// One key of the settings file.\n"
    "struct $message$Field {\n"
    "  std::string_view key;\n  std::string_view unit;\n"
    "  double min = 0;\n  double max = 0;\n"
    "  std::string_view default_value;\n  bool required = false;\n"
    "  std::string_view doc;\n  std::string_view choices;\n};\n\n";

bool HasSettings(const Descriptor& message) {
  return message.field_count() > 0 && message.field(0)->options().HasExtension(setting);
}

void WriteSettingRow(const FieldDescriptor& field, Printer& out) {
  const SettingOptions& options = field.options().GetExtension(setting);
  std::map<std::string, std::string> words = {
      {"key", QuoteLiteral(field.name())},
      {"unit", QuoteLiteral(options.unit())},
      {"min", std::to_string(options.min())},
      {"max", std::to_string(options.max())},
      {"default", QuoteLiteral(options.default_value())},
      {"required", options.required() ? "true" : "false"},
      {"doc", QuoteLiteral(options.doc())},
      {"choices", QuoteLiteral(options.choices())},
  };
  out.Print(words,
            "    {$key$, $unit$, $min$, $max$, $default$, $required$,\n"
            "     $doc$, $choices$},\n");
}

void WriteSettingTable(const Descriptor& message, Printer& out) {
  out.Print(kSettingStruct, "message", message.name());
  out.Print("inline constexpr std::array<$message$Field, $count$> k$message$Fields = {{\n",
            "message", message.name(), "count", std::to_string(message.field_count()));
  for (int i = 0; i < message.field_count(); ++i) {
    WriteSettingRow(*message.field(i), out);
  }
  out.Print("}};\n\n");
  out.Print(
      "// Calls visitor(field description, member) for every key, in schema order.\n"
      "template <typename Settings, typename Visitor>\n"
      "void Visit$message$(Settings& settings, Visitor&& visitor) {\n",
      "message", message.name());
  for (int i = 0; i < message.field_count(); ++i) {
    out.Print("  visitor(k$message$Fields[$index$], settings.$name$);\n", "message", message.name(),
              "index", std::to_string(i), "name", message.field(i)->name());
  }
  out.Print("}\n\n");
}

void WriteEventTable(const EnumDescriptor& type, Printer& out) {
  out.Print(
      "struct $name$Description {\n  $name$ id;\n  std::string_view level;\n"
      "  std::string_view text;\n  std::string_view action;\n};\n\n"
      "inline constexpr std::array<$name$Description, $count$> k$name$Catalogue = {{\n",
      "name", type.name(), "count", std::to_string(type.value_count()));
  for (int i = 0; i < type.value_count(); ++i) {
    const EventOptions& options = type.value(i)->options().GetExtension(event);
    out.Print("    {$type$::$name$, $level$,\n     $text$,\n     $action$},\n", "type", type.name(),
              "name", GetEnumeratorName(*type.value(i)), "level", QuoteLiteral(options.level()),
              "text", QuoteLiteral(options.text()), "action", QuoteLiteral(options.action()));
  }
  out.Print("}};\n\n");
}

void WriteErrorTable(const EnumDescriptor& type, Printer& out) {
  out.Print(
      "struct $name$Description {\n  $name$ kind;\n  std::string_view summary;\n"
      "  std::string_view remedy;\n};\n\n"
      "inline constexpr std::array<$name$Description, $count$> k$name$Catalogue = {{\n",
      "name", type.name(), "count", std::to_string(type.value_count()));
  for (int i = 0; i < type.value_count(); ++i) {
    const ErrorOptions& options = type.value(i)->options().GetExtension(error);
    out.Print("    {$type$::$name$,\n     $summary$,\n     $remedy$},\n", "type", type.name(),
              "name", GetEnumeratorName(*type.value(i)), "summary", QuoteLiteral(options.summary()),
              "remedy", QuoteLiteral(options.remedy()));
  }
  out.Print("}};\n\n");
}

}  // namespace

void WriteTables(const FileDescriptor& file, Printer& out) {
  for (int i = 0; i < file.message_type_count(); ++i) {
    if (HasSettings(*file.message_type(i))) {
      WriteSettingTable(*file.message_type(i), out);
    }
  }
  for (int i = 0; i < file.enum_type_count(); ++i) {
    const EnumDescriptor& type = *file.enum_type(i);
    if (type.value(0)->options().HasExtension(event)) {
      WriteEventTable(type, out);
    }
    if (type.value(0)->options().HasExtension(error)) {
      WriteErrorTable(type, out);
    }
  }
}

}  // namespace lacewingbridge::schema
