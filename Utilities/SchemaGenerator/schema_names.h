#ifndef LACEWINGBRIDGE_UTILITIES_SCHEMAGENERATOR_SCHEMA_NAMES_H_
#define LACEWINGBRIDGE_UTILITIES_SCHEMAGENERATOR_SCHEMA_NAMES_H_

#include <google/protobuf/descriptor.h>

#include <string>
#include <string_view>

namespace lacewingbridge::schema {

// "settings.proto" -> "settings".
std::string GetBaseName(const google::protobuf::FileDescriptor& file);

// "ERROR_KIND_NOT_FOUND" of enum ErrorKind -> "kNotFound".
std::string GetEnumeratorName(const google::protobuf::EnumValueDescriptor& value);

// The same words in lower case, separated by '_', for text shown to people.
std::string GetEnumeratorWord(const google::protobuf::EnumValueDescriptor& value);

// C++ type of one element of the field.
std::string GetElementType(const google::protobuf::FieldDescriptor& field);

// C++ type of the member: the element type, a vector or an optional of it.
std::string GetMemberType(const google::protobuf::FieldDescriptor& field);

// Quotes text as a C++ string literal.
std::string QuoteLiteral(std::string_view text);

}  // namespace lacewingbridge::schema

#endif  // LACEWINGBRIDGE_UTILITIES_SCHEMAGENERATOR_SCHEMA_NAMES_H_
