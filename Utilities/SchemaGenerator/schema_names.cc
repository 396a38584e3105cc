#include "schema_names.h"

#include <cctype>

namespace lacewingbridge::schema {

using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;

std::string GetBaseName(const FileDescriptor& file) {
  const std::string& name = file.name();
  return name.substr(0, name.rfind('.'));
}

namespace {

// "ErrorKind" -> "ERROR_KIND_".
std::string GetEnumPrefix(const EnumDescriptor& type) {
  std::string prefix;
  for (char letter : type.name()) {
    if (std::isupper(static_cast<unsigned char>(letter)) && !prefix.empty()) {
      prefix += '_';
    }
    prefix += static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  return prefix + "_";
}

std::string StripPrefix(const EnumValueDescriptor& value) {
  const std::string prefix = GetEnumPrefix(*value.type());
  const std::string& name = value.name();
  return name.rfind(prefix, 0) == 0 ? name.substr(prefix.size()) : name;
}

}  // namespace

std::string GetEnumeratorName(const EnumValueDescriptor& value) {
  std::string result = "k";
  bool start_of_word = true;
  for (char letter : StripPrefix(value)) {
    if (letter == '_') {
      start_of_word = true;
      continue;
    }
    const auto byte = static_cast<unsigned char>(letter);
    result += static_cast<char>(start_of_word ? byte : std::tolower(byte));
    start_of_word = false;
  }
  return result;
}

std::string GetEnumeratorWord(const EnumValueDescriptor& value) {
  std::string result;
  for (char letter : StripPrefix(value)) {
    result += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return result;
}

std::string GetElementType(const FieldDescriptor& field) {
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
      return "std::int32_t";
    case FieldDescriptor::CPPTYPE_INT64:
      return "std::int64_t";
    case FieldDescriptor::CPPTYPE_UINT32:
      return "std::uint32_t";
    case FieldDescriptor::CPPTYPE_UINT64:
      return "std::uint64_t";
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return "double";
    case FieldDescriptor::CPPTYPE_FLOAT:
      return "float";
    case FieldDescriptor::CPPTYPE_BOOL:
      return "bool";
    case FieldDescriptor::CPPTYPE_ENUM:
      return field.enum_type()->name();
    case FieldDescriptor::CPPTYPE_STRING:
      return "std::string";
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return field.message_type()->name();
  }
  return "";
}

std::string GetMemberType(const FieldDescriptor& field) {
  const std::string element = GetElementType(field);
  if (field.is_repeated()) {
    return "std::vector<" + element + ">";
  }
  if (field.has_optional_keyword()) {
    return "std::optional<" + element + ">";
  }
  return element;
}

std::string QuoteLiteral(std::string_view text) {
  std::string result = "\"";
  for (char letter : text) {
    if (letter == '"' || letter == '\\') {
      result += '\\';
    }
    result += letter;
  }
  return result + "\"";
}

}  // namespace lacewingbridge::schema
